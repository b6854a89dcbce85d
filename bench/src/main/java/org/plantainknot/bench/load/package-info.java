/** Callers that keep a record of what became of each request. */
package org.plantainknot.bench.load;
