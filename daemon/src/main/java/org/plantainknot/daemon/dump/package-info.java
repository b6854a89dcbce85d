/** Dump of the process's state. */
package org.plantainknot.daemon.dump;
