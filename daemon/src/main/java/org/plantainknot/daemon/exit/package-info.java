/** Termination of the process by itself. Imports nothing else of the project. */
package org.plantainknot.daemon.exit;
