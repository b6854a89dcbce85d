/** Change tickets: their content, their checks and their life. */
package org.plantainknot.core.ticket;
