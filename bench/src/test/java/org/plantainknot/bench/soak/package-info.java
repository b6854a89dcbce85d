/**
 * Soak test of gateway and controller processes under seeded fault injection, checked from the side
 * of the callers and the workers.
 */
package org.plantainknot.bench.soak;
