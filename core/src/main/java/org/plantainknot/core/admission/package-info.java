/** Admission of requests: bounded, weighted fair, deadline-aware queues. */
package org.plantainknot.core.admission;
