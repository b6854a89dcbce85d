/** Selection of a target for each request: slots, ejection, probation and retries. */
package org.plantainknot.core.routing;
