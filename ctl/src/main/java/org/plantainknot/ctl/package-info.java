/** Command line of the operators, over their HTTP interface. */
package org.plantainknot.ctl;
