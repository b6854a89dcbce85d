package org.plantainknot.daemon.control;

import org.plantainknot.core.control.ControlState;

/** Part of the daemon that follows the replicated state. Called on the control thread. */
public interface StateListener {

  /** Takes over a change of VMs, pools, services or shares. */
  void onFleetChanged(ControlState state);

  /** Returns what the leader is to know of this gateway. */
  GatewayReport report();
}
