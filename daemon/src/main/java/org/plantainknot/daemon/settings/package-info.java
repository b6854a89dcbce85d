/** Settings of the daemon: the INI file, its checks and its defaults. */
package org.plantainknot.daemon.settings;
