/** Real gateways and controllers under seeded faults, judged by what callers and workers see. */
package org.plantainknot.bench.soak;
