package org.plantainknot.daemon.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.LogRecord.Installed;
import org.plantainknot.core.replica.LogRecord.Truncated;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that synced data survives a restart and that damaged or foreign folders are rejected. */
public class DiskStorageTest {

  private static final int MISSING_BYTES = 16;

  private Path folder;

  @BeforeMethod
  void createFolder() throws IOException {
    folder = Files.createTempDirectory("plantainknot-storage");
  }

  @Test
  void appendedRecordsSurviveARestart() {
    write();
    StoredState stored = read();
    assertEquals(stored.hardState(), new HardState(3, new MemberId("n1", "i1")));
    assertEquals(texts(stored), List.of("one", "two again", "three"));
  }

  @Test
  void aDiskKeepsItsIncarnationAndAnEmptyOneGetsANewOne() throws IOException {
    MemberId first = open(folder);
    assertEquals(open(folder), first);
    MemberId other = open(Files.createTempDirectory("plantainknot-storage"));
    assertFalse(other.incarnation().equals(first.incarnation()));
  }

  @Test
  void aTornRecordIsTruncatedWhereverItIsCut() throws IOException {
    write();
    byte[] whole = Files.readAllBytes(logPath());
    List<List<String>> afterEachRecord =
        List.of(
            List.of(),
            List.of("one"),
            List.of("one", "two"),
            List.of("one"),
            List.of("one", "two again"),
            List.of("one", "two again"),
            List.of("one", "two again", "three"));
    int records = afterEachRecord.size() - 1;
    for (int length = whole.length - 1; length >= 0; length--) {
      Files.write(logPath(), Arrays.copyOf(whole, length));
      records -= Files.size(logPath()) < endOfRecords(whole, records) ? 1 : 0;
      assertEquals(
          texts(read()), afterEachRecord.get(records), "after truncation at byte " + length);
    }
    assertEquals(records, 0);
  }

  /** Returns the offset at which the first {@code count} records end. */
  private static int endOfRecords(byte[] bytes, int count) {
    int end = 0;
    for (int i = 0; i < count; i++) {
      int lengthWithoutFlag = ByteBuffer.wrap(bytes, end, 4).getInt() & Integer.MAX_VALUE;
      end += 8 + lengthWithoutFlag;
    }
    return end;
  }

  /**
   * Guards against a member that refuses to start after a loss of power in the middle of a write.
   */
  @Test
  void aWriteIsTruncatedWhicheverPartOfItIsMissing() throws IOException {
    write();
    int syncedBytes = (int) Files.size(logPath());
    List<String> written = List.of("one", "two again", "three", "four", "five", "six");
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.append(
          List.of(
              new Appended(entry(4, 3, "four")),
              new Appended(entry(5, 3, "five")),
              new Appended(entry(6, 3, "six"))));
    }
    byte[] whole = Files.readAllBytes(logPath());
    for (int missing = syncedBytes; missing < whole.length; missing++) {
      byte[] torn = whole.clone();
      Arrays.fill(torn, missing, Math.min(torn.length, missing + MISSING_BYTES), (byte) 0);
      Files.write(logPath(), torn);
      List<String> stored = texts(read());
      assertTrue(stored.size() >= 3, stored + " with byte " + missing + " missing");
      assertEquals(stored, written.subList(0, stored.size()));
    }
  }

  @Test
  void damageBeforeALaterWriteIsRejectedWhereverItIs() throws IOException {
    write();
    byte[] whole = Files.readAllBytes(logPath());
    int lastWrite = endOfRecords(whole, 5);
    for (int damaged = 0; damaged < lastWrite; damaged++) {
      byte[] bytes = whole.clone();
      bytes[damaged] ^= 4;
      Files.write(logPath(), bytes);
      expectThrows(StorageException.class, this::read);
    }
  }

  @Test
  void aTailOfZerosIsTruncated() throws IOException {
    write();
    byte[] whole = Files.readAllBytes(logPath());
    Files.write(logPath(), Arrays.copyOf(whole, whole.length + 4_096));
    assertEquals(texts(read()), List.of("one", "two again", "three"));
  }

  @Test
  void damageBeforeCompleteRecordsIsRejected() throws IOException {
    write();
    byte[] bytes = Files.readAllBytes(logPath());
    bytes[12] ^= 1;
    Files.write(logPath(), bytes);
    StorageException rejected = expectThrows(StorageException.class, this::read);
    assertTrue(rejected.getMessage().contains("damaged at byte 0"), rejected.getMessage());
    assertEquals(Files.readAllBytes(logPath()), bytes, "a rejected log must not be modified");
  }

  @Test
  void damageBeforeAnyRecordIsRejectedInALogOfAnEarlierBuild() throws IOException {
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.append(List.of(new Appended(entry(1, 1, "one"))));
    }
    byte[] bytes = Files.readAllBytes(logPath());
    bytes[0] &= Byte.MAX_VALUE;
    byte[] threeRecords = Arrays.copyOf(bytes, 3 * bytes.length);
    System.arraycopy(bytes, 0, threeRecords, bytes.length, bytes.length);
    System.arraycopy(bytes, 0, threeRecords, 2 * bytes.length, bytes.length);
    threeRecords[bytes.length + 12] ^= 1;
    Files.write(logPath(), threeRecords);
    expectThrows(StorageException.class, this::read);
  }

  @Test
  void aLogWithoutItsIdentityIsRejected() throws IOException {
    write();
    Files.delete(folder.resolve("identity"));
    expectThrows(StorageException.class, this::read);
  }

  @Test
  void theFolderOfAnotherNodeOrOfARunningProcessIsRejected() {
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      expectThrows(StorageException.class, () -> DiskStorage.open(folder, "n1"));
    }
    expectThrows(StorageException.class, () -> DiskStorage.open(folder, "n2"));
  }

  @Test
  void aSnapshotReplacesTheEntriesThatItCovers() {
    write();
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      Snapshot snapshot = new Snapshot(2, 2, null, bytes("state"));
      storage.compact(snapshot, List.of(entry(3, 3, "three")));
      storage.append(List.of(new Appended(entry(4, 3, "four"))));
    }
    StoredState stored = read();
    assertEquals(stored.snapshot().lastIndex(), 2);
    assertEquals(texts(stored), List.of("three", "four"));
    assertEquals(stored.hardState().term(), 3);
  }

  @Test
  void aSnapshotFromTheLeaderReplacesTheWholeLog() {
    write();
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.append(List.of(new Installed(new Snapshot(9, 4, null, bytes("state")))));
      storage.append(List.of(new Appended(entry(10, 4, "ten"))));
    }
    assertEquals(texts(read()), List.of("ten"));
  }

  /** Guards against disks that fill with the files of snapshots that a crash interrupted. */
  @Test
  void filesOfOtherGenerationsAreDeletedWhenTheFolderIsOpened() throws IOException {
    write();
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.compact(new Snapshot(2, 2, null, bytes("state")), List.of(entry(3, 3, "three")));
    }
    for (String left :
        List.of("log-0", "snapshot-0", "snapshot-2", "snapshot-2.tmp", "log-2.tmp")) {
      Files.write(folder.resolve(left), bytes("left by a crash"));
    }
    assertEquals(texts(read()), List.of("three"));
    assertEquals(fileNames(), Set.of("identity", "lock", "log-1", "snapshot-1"));
  }

  @Test
  void recordsLargerThanTheWriteBufferSurviveARestart() {
    String large = "0123456789abcdef".repeat(100_000);
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.append(
          List.of(
              new Appended(entry(1, 1, "small")),
              new Appended(entry(2, 1, large)),
              new Appended(entry(3, 1, "small again"))));
    }
    assertEquals(texts(read()), List.of("small", large, "small again"));
  }

  private Set<String> fileNames() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).collect(Collectors.toSet());
    }
  }

  private void write() {
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      storage.append(List.of(new Appended(entry(1, 1, "one")), new Appended(entry(2, 1, "two"))));
      storage.append(
          List.of(
              new Truncated(2),
              new Appended(entry(2, 2, "two again")),
              new HardState(3, new MemberId("n1", "i1"))));
      storage.append(List.of(new Appended(entry(3, 3, "three"))));
    }
  }

  private StoredState read() {
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      return storage.stored();
    }
  }

  private static MemberId open(Path folder) {
    try (DiskStorage storage = DiskStorage.open(folder, "n1")) {
      return storage.member();
    }
  }

  private Path logPath() {
    return folder.resolve("log-0");
  }

  private static List<String> texts(StoredState stored) {
    return stored.entries().stream()
        .map(entry -> new String(entry.command(), StandardCharsets.UTF_8))
        .toList();
  }

  private static Entry entry(long index, long term, String text) {
    return Entry.ofCommand(index, term, bytes(text));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
