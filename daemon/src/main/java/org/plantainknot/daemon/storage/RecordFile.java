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
 * File of records, each preceded by its length and CRC-32C. The first record of each append carries
 * a flag in its length: all bytes before it were synced when it was written.
 *
 * <p>After a crash any part of the last append may be missing, so the file is truncated at the
 * first record that is incomplete. Damage that is followed by a record of a later append can't come
 * from a crash and is rejected. In files of earlier builds, which have no flags, so is damage that
 * is followed by any complete record.
 *
 * <p>Reading takes the memory of one record beside what the reader keeps, and writing that of one
 * buffer, whatever the size of the file.
 */
final class RecordFile implements AutoCloseable {

  private static final int HEADER_BYTES = 8;
  private static final int MAX_RECORD_BYTES = 1 << 30;
  private static final int MAX_BUFFER_BYTES = 1 << 20;

  /** Bit of a record's length that is set if the record is the first one of an append. */
  private static final int FIRST_OF_APPEND = 1 << 31;

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
    int flag = FIRST_OF_APPEND;
    for (byte[] payload : records) {
      ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
      header.putInt(flag | payload.length).putInt(invertedCrc(payload, 0, payload.length)).flip();
      write(header, buffer);
      write(ByteBuffer.wrap(payload), buffer);
      flag = 0;
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
    boolean hasFlags = true;
    long offset = 0;
    while (offset < fileBytes) {
      Header header = readHeader(data, fileBytes - offset);
      byte[] payload = header == null ? null : data.readNBytes(header.length());
      if (payload == null || !header.matches(payload, 0)) {
        byte[] rest = Channels.newInputStream(channel.position(offset)).readAllBytes();
        rejectDamageBeforeRecords(path, offset, rest, hasFlags);
        return offset;
      }
      hasFlags &= offset > 0 || header.firstOfAppend();
      reader.accept(payload);
      offset += HEADER_BYTES + payload.length;
    }
    return offset;
  }

  /**
   * Header of a record.
   *
   * @param length length of the record's payload, in bytes
   * @param firstOfAppend whether the record is the first one of an append
   * @param checksum complement of the payload's CRC
   */
  private record Header(int length, boolean firstOfAppend, int checksum) {

    static Header of(int flagAndLength, int checksum) {
      boolean firstOfAppend = (flagAndLength & FIRST_OF_APPEND) != 0;
      return new Header(flagAndLength & ~FIRST_OF_APPEND, firstOfAppend, checksum);
    }

    boolean fitsInto(long payloadBytes) {
      return length <= MAX_RECORD_BYTES && length <= payloadBytes;
    }

    boolean matches(byte[] bytes, int payloadOffset) {
      return checksum == invertedCrc(bytes, payloadOffset, length);
    }
  }

  /** Returns the header of the next record, or null if there is no complete record. */
  private static Header readHeader(DataInputStream data, long availableBytes) throws IOException {
    if (availableBytes < HEADER_BYTES) {
      return null;
    }
    Header header = Header.of(data.readInt(), data.readInt());
    return header.fitsInto(availableBytes - HEADER_BYTES) ? header : null;
  }

  /**
   * Rejects a file if the bytes from the damage on hold a complete record of a later append or, in
   * a file without flags, any complete record.
   */
  private static void rejectDamageBeforeRecords(
      Path path, long damagedOffset, byte[] rest, boolean hasFlags) {
    for (int offset = 1; offset < rest.length - HEADER_BYTES; offset++) {
      if (isRecordAt(rest, offset, hasFlags)) {
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
  private static boolean isRecordAt(byte[] bytes, int offset, boolean mustBeFirstOfAppend) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    Header header = Header.of(buffer.getInt(), buffer.getInt());
    int payloadOffset = offset + HEADER_BYTES;
    return header.length() > 0
        && (header.firstOfAppend() || !mustBeFirstOfAppend)
        && header.fitsInto(bytes.length - payloadOffset)
        && header.matches(bytes, payloadOffset);
  }

  /** Returns the complement of the CRC, so that a run of zeros is not a valid empty record. */
  private static int invertedCrc(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return ~(int) crc.getValue();
  }
}
