/** Replicated state machine: the commands of the log and the state that they change. */
package org.plantainknot.core.control;
