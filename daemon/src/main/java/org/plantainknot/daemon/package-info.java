/** Entry point and processes of the daemon, of which one runs on each entry VM. */
package org.plantainknot.daemon;
