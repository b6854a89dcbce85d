/** Replicated state machine: the commands of the log and the state that they lead to. */
package org.plantainknot.core.control;
