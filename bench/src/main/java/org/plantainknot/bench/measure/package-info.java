/** Measurements. Each prints one JSON object as its last line. */
package org.plantainknot.bench.measure;
