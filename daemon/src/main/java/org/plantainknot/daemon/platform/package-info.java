/** Client of the platform that reboots VMs. */
package org.plantainknot.daemon.platform;
