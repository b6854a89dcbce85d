/** Change tickets: content, validation and status transitions. */
package org.plantainknot.core.ticket;
