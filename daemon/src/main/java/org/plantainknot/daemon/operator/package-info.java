/** Operators: tickets, cluster commands, status and metrics over HTTP. */
package org.plantainknot.daemon.operator;
