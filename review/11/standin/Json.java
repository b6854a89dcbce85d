import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with plain maps, lists, strings, numbers and booleans. */
final class Json {

  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  static long number(Map<String, Object> map, String key, long otherwise) {
    return map.get(key) instanceof Number n ? n.longValue() : otherwise;
  }

  static String string(Map<String, Object> map, String key) {
    return map.get(key) instanceof String s ? s : "";
  }

  static boolean flag(Map<String, Object> map, String key) {
    return Boolean.TRUE.equals(map.get(key));
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object item : list) {
        out.append(separator);
        write(item, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String s) {
      out.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }

  private Object value() {
    skipSpace();
    char next = text.charAt(position);
    if (next == '{') {
      return readObject();
    } else if (next == '[') {
      return readList();
    } else if (next == '"') {
      return readString();
    }
    int start = position;
    while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
      position++;
    }
    String word = text.substring(start, position);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }
  }

  private Map<String, Object> readObject() {
    Map<String, Object> map = new LinkedHashMap<>();
    position++;
    skipSpace();
    while (text.charAt(position) != '}') {
      skipSpace();
      String key = readString();
      skipSpace();
      position++;
      map.put(key, value());
      skipComma();
    }
    position++;
    return map;
  }

  private List<Object> readList() {
    List<Object> list = new ArrayList<>();
    position++;
    skipSpace();
    while (text.charAt(position) != ']') {
      list.add(value());
      skipComma();
    }
    position++;
    return list;
  }

  private String readString() {
    StringBuilder out = new StringBuilder();
    for (position++; text.charAt(position) != '"'; position++) {
      char c = text.charAt(position);
      if (c == '\\') {
        position++;
        c = text.charAt(position);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(position + 1, position + 5), 16);
          position += 4;
        } else if (c == 'n') {
          c = '\n';
        }
      }
      out.append(c);
    }
    position++;
    return out.toString();
  }

  private void skipComma() {
    skipSpace();
    if (text.charAt(position) == ',') {
      position++;
      skipSpace();
    }
  }

  private void skipSpace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }
}
