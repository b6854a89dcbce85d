package org.plantainknot.daemon.storage;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * File of records, each preceded by its length and CRC-32C.
 *
 * <p>An incomplete record at the end, as a crash leaves it, is truncated when the file is opened.
 * Damage that is followed by complete records can't come from a crash and is rejected.
 *
 * <p>Reading takes the memory of one record beside what the reader keeps, and writing that of one
 * buffer, whatever the size of the file.
 */
final class RecordFile implements AutoCloseable {

  private static final int HEADER_BYTES = 8;
  private static final int MAX_RECORD_BYTES = 1 << 30;
  private static final int MAX_BUFFER_BYTES = 1 << 20;

  private final Path path;
  private final FileChannel channel;

  private RecordFile(Path path, FileChannel channel) {
    this.path = path;
    this.channel = channel;
  }

  /** Opens a file for appending and passes its existing records to the reader, in order. */
  static RecordFile open(Path path, Consumer<byte[]> reader) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    long validBytes = read(path, channel, reader);
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
    try (RecordFile file = open(temporary, payload -> {})) {
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

  /**
   * Appends records and syncs them. Each full buffer is synced before the next one is written,
   * since a crash may leave a later write without an earlier one, and that would look like damage.
   */
  void append(List<byte[]> records) throws IOException {
    long totalBytes = records.stream().mapToLong(payload -> HEADER_BYTES + payload.length).sum();
    ByteBuffer buffer = ByteBuffer.allocate((int) Math.min(totalBytes, MAX_BUFFER_BYTES));
    for (byte[] payload : records) {
      ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
      header.putInt(payload.length).putInt(invertedCrc(payload, 0, payload.length)).flip();
      write(header, buffer);
      write(ByteBuffer.wrap(payload), buffer);
    }
    flush(buffer);
  }

  /** Writes bytes by way of a buffer, which keeps those that do not fill it. */
  private void write(ByteBuffer bytes, ByteBuffer buffer) throws IOException {
    while (bytes.hasRemaining()) {
      if (!buffer.hasRemaining()) {
        flush(buffer);
      }
      int count = Math.min(bytes.remaining(), buffer.remaining());
      buffer.put(bytes.slice(bytes.position(), count));
      bytes.position(bytes.position() + count);
    }
  }

  private void flush(ByteBuffer buffer) throws IOException {
    buffer.flip();
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
    buffer.clear();
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

  /** Reads all complete records and returns the offset at which they end. */
  private static long read(Path path, FileChannel channel, Consumer<byte[]> reader)
      throws IOException {
    long fileBytes = channel.size();
    InputStream input = Channels.newInputStream(channel.position(0));
    DataInputStream data = new DataInputStream(new BufferedInputStream(input, MAX_BUFFER_BYTES));
    long offset = 0;
    while (offset < fileBytes) {
      byte[] payload = readRecord(data, fileBytes - offset);
      if (payload == null) {
        byte[] rest = Channels.newInputStream(channel.position(offset)).readAllBytes();
        rejectDamageBeforeRecords(path, offset, rest);
        return offset;
      }
      reader.accept(payload);
      offset += HEADER_BYTES + payload.length;
    }
    return offset;
  }

  /** Returns the next record, or null if it is incomplete or damaged. */
  private static byte[] readRecord(DataInputStream data, long availableBytes) throws IOException {
    if (availableBytes < HEADER_BYTES) {
      return null;
    }
    int length = data.readInt();
    int crc = data.readInt();
    if (!isPossibleLength(length, availableBytes - HEADER_BYTES)) {
      return null;
    }
    byte[] payload = data.readNBytes(length);
    return crc == invertedCrc(payload, 0, payload.length) ? payload : null;
  }

  private static boolean isPossibleLength(int length, long availableBytes) {
    return length >= 0 && length <= MAX_RECORD_BYTES && length <= availableBytes;
  }

  /** Rejects a file if the bytes from the damage on hold a complete record. */
  private static void rejectDamageBeforeRecords(Path path, long damagedOffset, byte[] rest) {
    for (int offset = 1; offset < rest.length - HEADER_BYTES; offset++) {
      if (isRecordAt(rest, offset)) {
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

  /** Returns whether a complete record that isn't empty begins at the offset. */
  private static boolean isRecordAt(byte[] bytes, int offset) {
    ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = header.getInt();
    int crc = header.getInt();
    int payloadOffset = offset + HEADER_BYTES;
    return length > 0
        && isPossibleLength(length, bytes.length - payloadOffset)
        && crc == invertedCrc(bytes, payloadOffset, length);
  }

  /** Returns the complement of the CRC, so that a run of zeros is not a valid empty record. */
  private static int invertedCrc(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return ~(int) crc.getValue();
  }
}
