package org.plantainknot.daemon.storage;

import com.google.protobuf.ByteString;
import java.util.TreeMap;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.LogRecord.Truncated;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.wire.member.EntryProto;
import org.plantainknot.wire.member.MemberProto;
import org.plantainknot.wire.member.MembershipProto;
import org.plantainknot.wire.member.SnapshotProto;
import org.plantainknot.wire.storage.HardStateProto;
import org.plantainknot.wire.storage.LogRecordProto;

/** Converts log records, entries and snapshots to and from protobuf, for the disk and the links. */
public final class StorageCodec {

  private StorageCodec() {}

  /** Returns the protobuf message for the member. */
  public static MemberProto toProto(MemberId member) {
    return MemberProto.newBuilder()
        .setNode(member.node())
        .setIncarnation(member.incarnation())
        .build();
  }

  /** Returns the member that the protobuf message describes. */
  public static MemberId fromProto(MemberProto proto) {
    return new MemberId(proto.getNode(), proto.getIncarnation());
  }

  /** Returns the protobuf message for the membership. */
  public static MembershipProto toProto(Membership membership) {
    return MembershipProto.newBuilder()
        .setClusterId(membership.clusterId())
        .putAllVoters(membership.voters())
        .build();
  }

  /** Returns the membership that the protobuf message describes. */
  public static Membership fromProto(MembershipProto proto) {
    return new Membership(proto.getClusterId(), new TreeMap<>(proto.getVotersMap()));
  }

  /** Returns the protobuf message for the entry. */
  public static EntryProto toProto(Entry entry) {
    EntryProto.Builder proto =
        EntryProto.newBuilder().setIndex(entry.index()).setTerm(entry.term());
    if (entry.hasCommand()) {
      proto.setCommand(ByteString.copyFrom(entry.command()));
    }
    if (entry.membership() != null) {
      proto.setMembership(toProto(entry.membership()));
    }
    return proto.build();
  }

  /** Returns the entry that the protobuf message describes. */
  public static Entry fromProto(EntryProto proto) {
    byte[] command = proto.hasCommand() ? proto.getCommand().toByteArray() : null;
    Membership membership = proto.hasMembership() ? fromProto(proto.getMembership()) : null;
    return new Entry(proto.getIndex(), proto.getTerm(), command, membership);
  }

  /** Returns the protobuf message for the snapshot. */
  public static SnapshotProto toProto(Snapshot snapshot) {
    SnapshotProto.Builder proto =
        SnapshotProto.newBuilder()
            .setLastIndex(snapshot.lastIndex())
            .setLastTerm(snapshot.lastTerm())
            .setData(ByteString.copyFrom(snapshot.data()));
    if (snapshot.membership() != null) {
      proto.setMembership(toProto(snapshot.membership()));
    }
    return proto.build();
  }

  /** Returns the snapshot that the protobuf message describes. */
  public static Snapshot fromProto(SnapshotProto proto) {
    Membership membership = proto.hasMembership() ? fromProto(proto.getMembership()) : null;
    return new Snapshot(
        proto.getLastIndex(), proto.getLastTerm(), membership, proto.getData().toByteArray());
  }

  static LogRecordProto toProto(LogRecord logRecord) {
    LogRecordProto.Builder proto = LogRecordProto.newBuilder();
    if (logRecord instanceof HardState state) {
      HardStateProto.Builder hardState = HardStateProto.newBuilder().setTerm(state.term());
      if (state.votedFor() != null) {
        hardState.setVotedFor(toProto(state.votedFor()));
      }
      proto.setHardState(hardState);
    } else if (logRecord instanceof Appended appended) {
      proto.setAppended(toProto(appended.entry()));
    } else if (logRecord instanceof Truncated truncated) {
      proto.setTruncatedFrom(truncated.fromIndex());
    } else {
      throw new IllegalArgumentException("an installed snapshot is not stored as a log record");
    }
    return proto.build();
  }

  static LogRecord fromProto(LogRecordProto proto) {
    switch (proto.getBodyCase()) {
      case HARD_STATE:
        HardStateProto state = proto.getHardState();
        MemberId vote = state.hasVotedFor() ? fromProto(state.getVotedFor()) : null;
        return new HardState(state.getTerm(), vote);
      case APPENDED:
        return new Appended(fromProto(proto.getAppended()));
      case TRUNCATED_FROM:
        return new Truncated(proto.getTruncatedFrom());
      default:
        throw new StorageException("unknown kind of log record", null);
    }
  }
}
