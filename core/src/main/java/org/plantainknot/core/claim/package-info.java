/** Claims, which let a non-idempotent request run at most once. */
package org.plantainknot.core.claim;
