import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client over plain sockets, so that a case controls every channel. */
final class Http {

	private Http() {
	}

	/** What a request or an answer says: its first line, headers and whole body. */
	record Message(String line, Map<String, String> headers, byte[] body) {

		String method() {
			return this.line.split(" ")[0];
		}

		String uri() {
			return this.line.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	interface Handler {

		/** Answers a request on its channel; returns false if the channel must not be used further. */
		boolean handle(Message request, Socket channel) throws Exception;

	}

	/** Serves on a loopback address, one virtual thread for each channel. */
	static ServerSocket serve(int port, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1024);
		Thread.startVirtualThread(() -> {
			while (!server.isClosed()) {
				try {
					Socket channel = server.accept();
					channel.setTcpNoDelay(true);
					Thread.startVirtualThread(() -> serve(channel, handler));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return server;
	}

	private static void serve(Socket channel, Handler handler) {
		try (channel) {
			InputStream in = new BufferedInputStream(channel.getInputStream());
			while (true) {
				Message request = read(in, false);
				if (request == null || !handler.handle(request, channel)) {
					return;
				}
			}
		}
		catch (Exception ex) {
			// The channel has ended.
		}
	}

	/** Reads one message; null if the channel ends before it. */
	static Message read(InputStream in, boolean answer) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String each = need(readLine(in)); !each.isEmpty(); each = need(readLine(in))) {
			int colon = each.indexOf(':');
			headers.put(each.substring(0, colon).trim().toLowerCase(Locale.ROOT), each.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			while (true) {
				int length = Integer.parseInt(need(readLine(in)).split(";")[0].trim(), 16);
				copy(in, body, length);
				need(readLine(in));
				if (length == 0) {
					break;
				}
			}
		}
		else if (headers.containsKey("content-length")) {
			copy(in, body, Integer.parseInt(headers.get("content-length")));
		}
		else if (answer) {
			in.transferTo(body);
		}
		return new Message(line, headers, body.toByteArray());
	}

	private static void copy(InputStream in, ByteArrayOutputStream to, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the channel ended within a body");
		}
		to.writeBytes(bytes);
	}

	private static String need(String line) throws IOException {
		if (line == null) {
			throw new EOFException("the channel ended within a message");
		}
		return line;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				return line.toString(StandardCharsets.UTF_8).stripTrailing();
			}
			line.write(next);
		}
		return (line.size() == 0) ? null : line.toString(StandardCharsets.UTF_8);
	}

	/** Writes a message with its length. */
	static void write(Socket channel, String line, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(line).append("\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
		all.writeBytes(body);
		OutputStream out = channel.getOutputStream();
		synchronized (channel) {
			out.write(all.toByteArray());
			out.flush();
		}
	}

	/** A consumer's channel, kept for many requests. */
	static final class Channel implements AutoCloseable {

		private final Socket socket;

		private final InputStream in;

		Channel(int port, int timeoutMillis) throws IOException {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
			this.socket.setSoTimeout(timeoutMillis);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}

		/** Sends a request and waits for its answer; null if the channel ended instead. */
		Message call(String line, Map<String, String> headers, byte[] body) throws IOException {
			write(this.socket, line, headers, body);
			return read(this.in, true);
		}

		Socket socket() {
			return this.socket;
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
