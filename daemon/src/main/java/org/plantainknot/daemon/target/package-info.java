/** HTTP client for targets, and the announcements with which targets register. */
package org.plantainknot.daemon.target;
