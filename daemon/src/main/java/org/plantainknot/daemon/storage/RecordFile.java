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
 * File of records, each with its length and CRC-32C.
 *
 * <p>A tail that was not written whole is cut when the file is opened. Damage with whole records
 * after it can't come from a crash and is refused.
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

  /** Opens a file for appending, after its records were given to {@code records}. */
  static RecordFile open(Path path, List<byte[]> records) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    long end = parse(path, Files.readAllBytes(path), records);
    if (end < channel.size()) {
      channel.truncate(end);
      channel.force(true);
    }
    channel.position(end);
    return new RecordFile(path, channel);
  }

  /** Writes a file with the given records in one step: it exists whole, or not at all. */
  static void writeWhole(Path path, List<byte[]> records) throws IOException {
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

  /** Writes records at the end and syncs them. */
  void append(List<byte[]> records) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (byte[] payload : records) {
      ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
      header.putInt(payload.length).putInt(crcOf(payload, 0, payload.length));
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
        refuseDamage(path, bytes, offset);
        return offset;
      }
      records.add(Arrays.copyOfRange(bytes, offset + HEADER_BYTES, end(offset, length)));
      offset = end(offset, length);
    }
    return offset;
  }

  private static void refuseDamage(Path path, byte[] bytes, int badOffset) {
    for (int offset = badOffset + 1; offset < bytes.length - HEADER_BYTES; offset++) {
      if (lengthOfRecordAt(bytes, offset) > 0) {
        throw new StorageException(
            path
                + " is damaged at byte "
                + badOffset
                + ", with whole records after it; replace"
                + " this node's disk as docs/OPERATIONS.md describes",
            null);
      }
    }
  }

  /** Returns the length of a whole and undamaged record, or -1. */
  private static int lengthOfRecordAt(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = header.getInt();
    int crc = header.getInt();
    boolean fits =
        length >= 0 && length <= MAX_RECORD_BYTES && bytes.length - offset - HEADER_BYTES >= length;
    return fits && crc == crcOf(bytes, offset + HEADER_BYTES, length) ? length : -1;
  }

  private static int end(int offset, int length) {
    return offset + HEADER_BYTES + length;
  }

  /** The complement keeps a run of zeros from being a valid record. */
  private static int crcOf(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return ~(int) crc.getValue();
  }
}
