package org.plantainknot.daemon.operator;

import java.util.List;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;

/**
 * Error, as operators get it.
 *
 * @param code stable code
 * @param message what went wrong
 * @param findings what is wrong with the input, with places
 */
public record ErrorBody(String code, String message, List<Finding> findings) {

  static ErrorBody of(PlantainknotException error) {
    return new ErrorBody(error.code().code(), error.getMessage(), error.findings());
  }
}
