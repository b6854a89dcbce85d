/** TLS for the links between members and for the listeners, where the settings name keys. */
package org.plantainknot.daemon.tls;
