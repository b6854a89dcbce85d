/** HTTP server for operators: tickets, cluster commands, status and metrics. */
package org.plantainknot.daemon.operator;
