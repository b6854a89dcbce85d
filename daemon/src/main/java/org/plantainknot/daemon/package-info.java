/** The daemon, one process on each entry VM. */
package org.plantainknot.daemon;
