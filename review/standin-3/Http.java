import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads and writes the part of HTTP/1.1 that the stand-ins use.
 */
final class Http {

	private Http() {
	}

	/**
	 * Reads a request.
	 * @return the request, or null if the channel ended before one began
	 */
	static Request readRequest(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		String[] words = first.split(" ");
		Map<String, String> headers = readHeaders(in);
		return new Request(words[0], words[1], headers, readBody(in, headers));
	}

	/**
	 * Reads a whole answer and returns its status.
	 */
	static int readAnswer(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			throw new EOFException("no answer");
		}
		Map<String, String> headers = readHeaders(in);
		readBody(in, headers);
		return Integer.parseInt(first.split(" ")[1]);
	}

	static void writeAnswer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		out.write(concat(head.toString(), body));
		out.flush();
	}

	static byte[] concat(String head, byte[] body) {
		byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[start.length + body.length];
		System.arraycopy(start, 0, all, 0, start.length);
		System.arraycopy(body, 0, all, start.length, body.length);
		return all;
	}

	private static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
		return headers;
	}

	private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
		if (!"chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
			return readBytes(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String length = readLine(in);
			if (length == null) {
				throw new EOFException("the answer broke off");
			}
			byte[] chunk = readBytes(in, Integer.parseInt(length, 16));
			readLine(in);
			if (chunk.length == 0) {
				return body.toByteArray();
			}
			body.write(chunk);
		}
	}

	private static byte[] readBytes(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body broke off");
		}
		return bytes;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/**
	 * A request as read.
	 */
	record Request(String method, String uri, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

}
