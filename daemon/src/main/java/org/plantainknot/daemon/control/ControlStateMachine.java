package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.wire.member.CommandProto;

/**
 * Applies committed commands to the replicated state, and completes those submitted on this member.
 *
 * <p>Used by the control thread only.
 */
final class ControlStateMachine implements ReplicaDriver.StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlState state;
  private final CommandQueue commands;
  private final Runnable afterDrain;

  /**
   * Creates a state machine.
   *
   * @param commands commands that were submitted on this member
   * @param afterDrain called at the end of each drain
   */
  ControlStateMachine(ControlState state, CommandQueue commands, Runnable afterDrain) {
    this.state = state;
    this.commands = commands;
    this.afterDrain = afterDrain;
  }

  @Override
  public void restore(byte[] data) {
    state.restore(StateCodec.decodeImage(data));
  }

  @Override
  public void apply(Entry entry) {
    if (!entry.hasCommand()) {
      state.skip(entry.index());
      return;
    }
    CommandProto proto = parse(entry.command());
    Command command = StateCodec.decodeCommand(proto.getBody().toByteArray());
    Result result =
        state.apply(entry.index(), proto.getStampMillis(), proto.getCommandId(), command);
    commands.applied(proto.getCommandId(), result);
    if (!(command instanceof Command.OpenClaim || command instanceof Command.CloseClaim)) {
      logger.atFine().log("applied index=%d command=%s result=%s", entry.index(), command, result);
    }
  }

  @Override
  public void onDrained() {
    afterDrain.run();
  }

  private static CommandProto parse(byte[] bytes) {
    try {
      return CommandProto.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("cannot decode a committed log entry", e);
    }
  }
}
