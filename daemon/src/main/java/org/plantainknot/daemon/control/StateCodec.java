package org.plantainknot.daemon.control;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.List;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.StepSpec;

/** Encodes commands, calls and snapshots as CBOR (RFC 8949), and provides the JSON mapper. */
public final class StateCodec {

  @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
  private interface Typed {}

  /** Leaves out what is zero, false or empty, as most of a step is. */
  @JsonInclude(JsonInclude.Include.NON_DEFAULT)
  private interface Compact {}

  private static final List<Class<?>> SEALED_TYPES =
      List.of(Command.class, Result.class, JobCommand.class, Request.class, Reply.class);
  private static final ObjectMapper CBOR = configure(new ObjectMapper(new CBORFactory()));
  private static final ObjectMapper JSON = configure(JsonMapper.builder().build());

  private StateCodec() {}

  /** Returns the mapper for JSON documents such as reports. */
  public static ObjectMapper json() {
    return JSON;
  }

  /** Returns the encoded command. */
  public static byte[] encode(Command command) {
    return write(command);
  }

  /** Returns the decoded command. */
  public static Command decodeCommand(byte[] bytes) {
    return read(bytes, Command.class);
  }

  /** Returns the encoded state image. */
  public static byte[] encode(ControlState.Image image) {
    return write(image);
  }

  /** Returns the decoded state image. */
  public static ControlState.Image decodeImage(byte[] bytes) {
    return read(bytes, ControlState.Image.class);
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    mapper.setVisibility(PropertyAccessor.ALL, Visibility.NONE);
    mapper.setVisibility(PropertyAccessor.FIELD, Visibility.ANY);
    mapper.setVisibility(PropertyAccessor.CREATOR, Visibility.ANY);
    for (Class<?> base : SEALED_TYPES) {
      mapper.addMixIn(base, Typed.class);
      mapper.registerSubtypes(base.getPermittedSubclasses());
    }
    mapper.addMixIn(StepSpec.class, Compact.class);
    return mapper;
  }

  /** Returns the value encoded as CBOR. */
  public static byte[] write(Object value) {
    try {
      return CBOR.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new PlantainknotException(ErrorCode.INTERNAL, "encoding failed: " + e.getMessage());
    }
  }

  /** Returns the value decoded from CBOR. */
  public static <T> T read(byte[] bytes, Class<T> type) {
    try {
      return CBOR.readValue(bytes, type);
    } catch (IOException e) {
      throw new PlantainknotException(ErrorCode.INTERNAL, "decoding failed: " + e.getMessage());
    }
  }
}
