/** Soak test of gateway and controller processes under seeded fault injection. */
package org.plantainknot.bench.soak;
