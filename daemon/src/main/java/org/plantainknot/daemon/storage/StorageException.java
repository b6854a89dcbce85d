package org.plantainknot.daemon.storage;

import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;

/**
 * Thrown when the data folder can't be read or written; the process must not continue to use it.
 */
public final class StorageException extends PlantainknotException {

  StorageException(String message, Throwable cause) {
    super(ErrorCode.INTERNAL, message);
    if (cause != null) {
      initCause(cause);
    }
  }
}
