/** Links between members over Netty, and the frames that they carry. */
package org.plantainknot.daemon.member;
