/** The other entry VMs: links over Netty, and the frames that they carry. */
package org.plantainknot.daemon.member;
