package org.plantainknot.daemon.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.LogRecord.Installed;
import org.plantainknot.core.replica.LogRecord.Truncated;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;
import org.plantainknot.wire.member.SnapshotProto;
import org.plantainknot.wire.storage.IdentityProto;
import org.plantainknot.wire.storage.LogRecordProto;

/**
 * Storage of a voter in its data folder.
 *
 * <p>The folder holds the identity of the disk and, for the latest generation, a snapshot and the
 * log after it. A new generation takes effect once its log file exists; the files of the previous
 * one are deleted only after that. Any failure to write or sync is final, since no later sync could
 * be trusted.
 */
public final class DiskStorage implements ReplicaStorage {

  private static final String IDENTITY = "identity";
  private static final String LOCK = "lock";
  private static final String LOG_PREFIX = "log-";
  private static final String SNAPSHOT_PREFIX = "snapshot-";

  private final Path folder;
  private final FileChannel lockChannel;
  private final MemberId member;
  private final StoredState stored;
  private long generation;
  private HardState hardState;
  private RecordFile log;

  private DiskStorage(Path folder, String node) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    this.lockChannel = lock(folder);
    this.member = readOrCreateIdentity(node);
    this.generation = latestGeneration().orElse(0L);
    Snapshot snapshot = readSnapshot();
    LogReplay replay = new LogReplay(snapshot.lastIndex());
    this.log = RecordFile.open(logPath(generation), payload -> replay.add(parseRecord(payload)));
    deleteOtherGenerations();
    RecordFile.syncFolder(folder);
    this.hardState = replay.hardState();
    this.stored = new StoredState(hardState, snapshot, replay.entries());
  }

  /**
   * Opens the data folder of a node, and initializes it if it is missing or empty.
   *
   * @throws StorageException if the folder can't be read or written, is damaged, is in use by
   *     another process, or belongs to another node
   */
  public static DiskStorage open(Path folder, String node) {
    try {
      return new DiskStorage(folder, node);
    } catch (IOException | UncheckedIOException e) {
      throw new StorageException("can't use data folder " + folder + ": " + e.getMessage(), e);
    }
  }

  @Override
  public MemberId member() {
    return member;
  }

  @Override
  public StoredState stored() {
    return stored;
  }

  @Override
  public void append(List<LogRecord> records) {
    List<byte[]> encoded = new ArrayList<>();
    for (LogRecord logRecord : records) {
      if (logRecord instanceof Installed installed) {
        write(encoded);
        encoded.clear();
        compact(installed.snapshot(), List.of());
      } else {
        encoded.add(encode(logRecord));
      }
    }
    write(encoded);
  }

  @Override
  public void compact(Snapshot snapshot, List<Entry> remaining) {
    try {
      long nextGeneration = generation + 1;
      List<byte[]> records = new ArrayList<>();
      records.add(encode(hardState));
      remaining.forEach(entry -> records.add(encode(new Appended(entry))));
      byte[] image = StorageCodec.toProto(snapshot).toByteArray();
      RecordFile.writeAtomically(snapshotPath(nextGeneration), List.of(image));
      RecordFile.writeAtomically(logPath(nextGeneration), records);
      log.close();
      log = RecordFile.open(logPath(nextGeneration), payload -> {});
      Files.deleteIfExists(logPath(generation));
      Files.deleteIfExists(snapshotPath(generation));
      generation = nextGeneration;
    } catch (IOException e) {
      throw new StorageException("can't write a snapshot to " + folder, e);
    }
  }

  @Override
  public void close() {
    try {
      log.close();
      lockChannel.close();
    } catch (IOException e) {
      throw new StorageException("can't close " + folder, e);
    }
  }

  private void write(List<byte[]> records) {
    if (records.isEmpty()) {
      return;
    }
    try {
      log.append(records);
    } catch (IOException e) {
      throw new StorageException("can't write or sync " + log, e);
    }
  }

  private byte[] encode(LogRecord logRecord) {
    if (logRecord instanceof HardState state) {
      hardState = state;
    }
    return StorageCodec.toProto(logRecord).toByteArray();
  }

  private static FileChannel lock(Path folder) throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock lock = channel.tryLock();
      if (lock != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      channel.close();
    }
    throw new StorageException("data folder " + folder + " is in use by another process", null);
  }

  private MemberId readOrCreateIdentity(String node) throws IOException {
    Path path = folder.resolve(IDENTITY);
    if (!Files.exists(path)) {
      rejectLogWithoutIdentity();
      IdentityProto created =
          IdentityProto.newBuilder()
              .setNode(node)
              .setIncarnation(UUID.randomUUID().toString())
              .build();
      RecordFile.writeAtomically(path, List.of(created.toByteArray()));
    }
    IdentityProto identity = IdentityProto.parseFrom(readSingleRecord(path));
    if (!identity.getNode().equals(node)) {
      throw new StorageException(
          "data folder " + folder + " belongs to node " + identity.getNode(), null);
    }
    return new MemberId(node, identity.getIncarnation());
  }

  /**
   * Rejects a folder that has a log but no identity: it must not get the identity of a new disk.
   */
  private void rejectLogWithoutIdentity() throws IOException {
    if (latestGeneration().isPresent()) {
      throw new StorageException("data folder " + folder + " has a log but no identity file", null);
    }
  }

  private Optional<Long> latestGeneration() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.matches(LOG_PREFIX + "\\d+"))
          .map(name -> Long.parseLong(name.substring(LOG_PREFIX.length())))
          .max(Comparator.naturalOrder());
    }
  }

  /** Deletes what a crash has left of earlier generations, or of one that was not completed. */
  private void deleteOtherGenerations() throws IOException {
    List<Path> others;
    try (Stream<Path> files = Files.list(folder)) {
      others = files.filter(this::isOfOtherGeneration).toList();
    }
    for (Path file : others) {
      Files.deleteIfExists(file);
    }
  }

  private boolean isOfOtherGeneration(Path file) {
    String name = file.getFileName().toString();
    boolean ofAnyGeneration = name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX);
    return ofAnyGeneration
        && !file.equals(logPath(generation))
        && !file.equals(snapshotPath(generation));
  }

  private Snapshot readSnapshot() throws IOException {
    if (generation == 0) {
      return Snapshot.EMPTY;
    }
    return StorageCodec.fromProto(
        SnapshotProto.parseFrom(readSingleRecord(snapshotPath(generation))));
  }

  private static byte[] readSingleRecord(Path path) throws IOException {
    List<byte[]> records = new ArrayList<>();
    RecordFile.open(path, records::add).close();
    if (records.size() != 1) {
      throw new StorageException(path + " is damaged: it must hold exactly one record", null);
    }
    return records.get(0);
  }

  private LogRecordProto parseRecord(byte[] bytes) {
    try {
      return LogRecordProto.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new StorageException("can't parse a log record in " + folder, e);
    }
  }

  private Path logPath(long ofGeneration) {
    return folder.resolve(LOG_PREFIX + ofGeneration);
  }

  private Path snapshotPath(long ofGeneration) {
    return folder.resolve(SNAPSHOT_PREFIX + ofGeneration);
  }

  /** Rebuilds the entries and the hard state from the records of a log file. */
  private static final class LogReplay {

    private final long snapshotIndex;
    private final List<Entry> entries = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;

    LogReplay(long snapshotIndex) {
      this.snapshotIndex = snapshotIndex;
    }

    void add(LogRecordProto proto) {
      LogRecord logRecord = StorageCodec.fromProto(proto);
      if (logRecord instanceof HardState state) {
        hardState = state;
      } else if (logRecord instanceof Truncated truncated) {
        int keptCount = Math.toIntExact(truncated.fromIndex() - snapshotIndex - 1);
        entries.subList(keptCount, entries.size()).clear();
      } else if (logRecord instanceof Appended appended) {
        append(appended.entry());
      }
    }

    private void append(Entry entry) {
      long expected = snapshotIndex + entries.size() + 1;
      if (entry.index() != expected) {
        throw new StorageException(
            "log is damaged: entry " + entry.index() + " where " + expected + " should be", null);
      }
      entries.add(entry);
    }

    HardState hardState() {
      return hardState;
    }

    List<Entry> entries() {
      return entries;
    }
  }
}
