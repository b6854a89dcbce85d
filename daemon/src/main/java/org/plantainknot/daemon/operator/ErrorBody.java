package org.plantainknot.daemon.operator;

import java.util.List;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;

/**
 * Response body that reports an error to an operator.
 *
 * @param code stable error code
 * @param message what went wrong
 * @param findings problems found in the input, each with its place
 */
public record ErrorBody(String code, String message, List<Finding> findings) {

  static ErrorBody of(PlantainknotException error) {
    return new ErrorBody(error.code().code(), error.getMessage(), error.findings());
  }
}
