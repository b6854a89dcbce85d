package org.plantainknot.daemon.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * File of records, each preceded by its length and CRC-32C.
 *
 * <p>An incomplete record at the end, as a crash leaves it, is truncated when the file is opened.
 * Damage that is followed by complete records can't come from a crash and is rejected.
 */
final class RecordFile implements AutoCloseable {

  private static final int HEADER_BYTES = 8;
  private static final int MAX_RECORD_BYTES = 1 << 30;

  private final Path path;
  private final FileChannel channel;

  private RecordFile(Path path, FileChannel channel) {
    this.path = path;
    this.channel = channel;
  }

  /** Opens a file for appending and adds its existing records to {@code records}. */
  static RecordFile open(Path path, List<byte[]> records) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    long validBytes = parse(path, Files.readAllBytes(path), records);
    if (validBytes < channel.size()) {
      channel.truncate(validBytes);
      channel.force(true);
    }
    channel.position(validBytes);
    return new RecordFile(path, channel);
  }

  /** Writes a file with the given records atomically: it exists complete, or not at all. */
  static void writeAtomically(Path path, List<byte[]> records) throws IOException {
    Path temporary = path.resolveSibling(path.getFileName() + ".tmp");
    Files.deleteIfExists(temporary);
    try (RecordFile file = open(temporary, new ArrayList<>())) {
      file.append(records);
    }
    Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE);
    syncFolder(path.getParent());
  }

  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** Appends records and syncs them. */
  void append(List<byte[]> records) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (byte[] payload : records) {
      ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
      header.putInt(payload.length).putInt(invertedCrc(payload, 0, payload.length));
      bytes.write(header.array());
      bytes.write(payload);
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
    channel.force(false);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }

  @Override
  public String toString() {
    return path.toString();
  }

  private static long parse(Path path, byte[] bytes, List<byte[]> records) {
    int offset = 0;
    while (offset < bytes.length) {
      int length = lengthOfRecordAt(bytes, offset);
      if (length < 0) {
        rejectDamageBeforeRecords(path, bytes, offset);
        return offset;
      }
      records.add(Arrays.copyOfRange(bytes, offset + HEADER_BYTES, endOfRecord(offset, length)));
      offset = endOfRecord(offset, length);
    }
    return offset;
  }

  private static void rejectDamageBeforeRecords(Path path, byte[] bytes, int damagedOffset) {
    for (int offset = damagedOffset + 1; offset < bytes.length - HEADER_BYTES; offset++) {
      if (lengthOfRecordAt(bytes, offset) > 0) {
        throw new StorageException(
            path
                + " is damaged at byte "
                + damagedOffset
                + ", with complete records after it; replace"
                + " this node's disk as docs/OPERATIONS.md describes",
            null);
      }
    }
  }

  /** Returns the length of the record at the offset, or -1 if it is incomplete or damaged. */
  private static int lengthOfRecordAt(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = header.getInt();
    int crc = header.getInt();
    boolean fits =
        length >= 0 && length <= MAX_RECORD_BYTES && bytes.length - offset - HEADER_BYTES >= length;
    return fits && crc == invertedCrc(bytes, offset + HEADER_BYTES, length) ? length : -1;
  }

  private static int endOfRecord(int offset, int length) {
    return offset + HEADER_BYTES + length;
  }

  /** Returns the complement of the CRC, so that a run of zeros is not a valid empty record. */
  private static int invertedCrc(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return ~(int) crc.getValue();
  }
}
