/** The platform: reboots of VMs. */
package org.plantainknot.daemon.platform;
