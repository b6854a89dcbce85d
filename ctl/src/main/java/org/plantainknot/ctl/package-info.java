/** Command-line client of the HTTP operator interface. */
package org.plantainknot.ctl;
