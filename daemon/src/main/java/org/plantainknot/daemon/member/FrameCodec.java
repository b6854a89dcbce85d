package org.plantainknot.daemon.member;

import org.plantainknot.core.replica.Message;
import org.plantainknot.core.replica.Message.Append;
import org.plantainknot.core.replica.Message.AppendReply;
import org.plantainknot.core.replica.Message.InstallSnapshot;
import org.plantainknot.core.replica.Message.TransferLeadership;
import org.plantainknot.core.replica.Message.VoteReply;
import org.plantainknot.core.replica.Message.VoteRequest;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.wire.member.AppendProto;
import org.plantainknot.wire.member.AppendReplyProto;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.HandOverProto;
import org.plantainknot.wire.member.InstallSnapshotProto;
import org.plantainknot.wire.member.VoteReplyProto;
import org.plantainknot.wire.member.VoteRequestProto;

/** Converts messages of the replication protocol to and from frames. */
public final class FrameCodec {

  private FrameCodec() {}

  /** Returns the frame that carries the message. */
  public static FrameProto toFrame(Message message) {
    FrameProto.Builder frame = FrameProto.newBuilder();
    if (message instanceof Append append) {
      frame.setAppend(toProto(append));
    } else if (message instanceof AppendReply reply) {
      frame.setAppendReply(toProto(reply));
    } else if (message instanceof VoteRequest request) {
      frame.setVoteRequest(toProto(request));
    } else if (message instanceof VoteReply reply) {
      frame.setVoteReply(
          VoteReplyProto.newBuilder()
              .setTerm(reply.term())
              .setPreVote(reply.preVote())
              .setGranted(reply.granted()));
    } else if (message instanceof InstallSnapshot install) {
      frame.setInstallSnapshot(
          InstallSnapshotProto.newBuilder()
              .setTerm(install.term())
              .setRound(install.round())
              .setSnapshot(StorageCodec.toProto(install.snapshot())));
    } else if (message instanceof TransferLeadership transfer) {
      frame.setHandOver(HandOverProto.newBuilder().setTerm(transfer.term()));
    }
    return frame.build();
  }

  /** Returns the message that the frame carries, or null if it carries anything else. */
  public static Message fromFrame(FrameProto frame) {
    switch (frame.getBodyCase()) {
      case APPEND:
        return fromProto(frame.getAppend());
      case APPEND_REPLY:
        AppendReplyProto a = frame.getAppendReply();
        return new AppendReply(a.getTerm(), a.getRound(), a.getSuccess(), a.getMatchIndex());
      case VOTE_REQUEST:
        VoteRequestProto v = frame.getVoteRequest();
        return new VoteRequest(
            v.getTerm(), v.getLastIndex(), v.getLastTerm(), v.getPreVote(), v.getHandOver());
      case VOTE_REPLY:
        VoteReplyProto r = frame.getVoteReply();
        return new VoteReply(r.getTerm(), r.getPreVote(), r.getGranted());
      case INSTALL_SNAPSHOT:
        InstallSnapshotProto i = frame.getInstallSnapshot();
        return new InstallSnapshot(
            i.getTerm(), i.getRound(), StorageCodec.fromProto(i.getSnapshot()));
      case HAND_OVER:
        return new TransferLeadership(frame.getHandOver().getTerm());
      default:
        return null;
    }
  }

  private static AppendProto toProto(Append append) {
    AppendProto.Builder proto =
        AppendProto.newBuilder()
            .setTerm(append.term())
            .setRound(append.round())
            .setPreviousIndex(append.previousIndex())
            .setPreviousTerm(append.previousTerm())
            .setCommitIndex(append.commitIndex());
    append.entries().forEach(entry -> proto.addEntries(StorageCodec.toProto(entry)));
    return proto.build();
  }

  private static Append fromProto(AppendProto proto) {
    return new Append(
        proto.getTerm(),
        proto.getRound(),
        proto.getPreviousIndex(),
        proto.getPreviousTerm(),
        proto.getEntriesList().stream().map(StorageCodec::fromProto).toList(),
        proto.getCommitIndex());
  }

  private static AppendReplyProto toProto(AppendReply reply) {
    return AppendReplyProto.newBuilder()
        .setTerm(reply.term())
        .setRound(reply.round())
        .setSuccess(reply.success())
        .setMatchIndex(reply.matchIndex())
        .build();
  }

  private static VoteRequestProto toProto(VoteRequest request) {
    return VoteRequestProto.newBuilder()
        .setTerm(request.term())
        .setLastIndex(request.lastIndex())
        .setLastTerm(request.lastTerm())
        .setPreVote(request.preVote())
        .setHandOver(request.leadershipTransfer())
        .build();
  }
}
