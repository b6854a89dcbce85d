/** Load generator that records the outcome of each request. */
package org.plantainknot.bench.load;
