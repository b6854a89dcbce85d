/** TLS for links between members and for HTTP servers, enabled by the keys in the settings. */
package org.plantainknot.daemon.tls;
