package org.plantainknot.daemon.control;

import org.plantainknot.core.control.ControlState;

/** Receives changes of the replicated state. Called on the control thread. */
public interface StateListener {

  /** Handles a change of VMs, pools, services or shares. */
  void onFleetChanged(ControlState state);

  /** Returns the gateway's report for the next lease request. */
  GatewayReport report();
}
