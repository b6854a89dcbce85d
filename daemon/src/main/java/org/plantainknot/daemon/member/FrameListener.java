package org.plantainknot.daemon.member;

import org.plantainknot.core.replica.MemberId;
import org.plantainknot.wire.member.FrameProto;

/** Receives frames from the other members. Called on the event loops of the links. */
public interface FrameListener {

  /**
   * Called when a link with another member is up.
   *
   * @param peer the member
   * @param address address at which it accepts links, or an empty string if it accepts none
   */
  void onLinked(MemberId peer, String address);

  /** Called for each frame except hello and heartbeat frames. */
  void onFrame(MemberId sender, FrameProto frame);
}
