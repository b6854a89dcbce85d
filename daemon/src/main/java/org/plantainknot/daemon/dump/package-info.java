/** State dump of a process for operators. */
package org.plantainknot.daemon.dump;
