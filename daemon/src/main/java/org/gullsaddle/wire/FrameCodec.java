package org.gullsaddle.wire;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes frames as MessagePack and decodes them.
 */
final class FrameCodec {

	/** A larger frame closes its link; this bounds the memory used on both sides. */
	static final int MAX_FRAME_BYTES = 4 << 20;

	private static final int MAX_DEPTH = 32;

	private static final ObjectMapper MAPPER = mapper();

	private FrameCodec() {
	}

	static byte[] write(long stamp, Frame frame) throws FrameException {
		try {
			byte[] bytes = MAPPER.writeValueAsBytes(new Envelope(stamp, frame));
			if (bytes.length > MAX_FRAME_BYTES) {
				throw new FrameException("a frame of " + bytes.length + " bytes is larger than " + MAX_FRAME_BYTES);
			}
			return bytes;
		}
		catch (FrameException ex) {
			throw ex;
		}
		catch (IOException ex) {
			throw new FrameException("cannot write a " + frame.getClass().getSimpleName(), ex);
		}
	}

	static Envelope read(byte[] bytes) throws FrameException {
		try {
			Envelope envelope = MAPPER.readValue(bytes, Envelope.class);
			if (envelope == null || envelope.frame() == null) {
				throw new FrameException("a frame without content");
			}
			return envelope;
		}
		catch (FrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new FrameException("malformed frame: " + firstLine(ex), ex);
		}
	}

	private static String firstLine(Exception ex) {
		String message = String.valueOf(ex.getMessage());
		return message.lines().findFirst().orElse("");
	}

	private static ObjectMapper mapper() {
		MessagePackFactory factory = new MessagePackFactory();
		factory.setStreamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
		ObjectMapper mapper = new ObjectMapper(factory);
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		mapper.setSerializationInclusion(JsonInclude.Include.NON_NULL);
		return mapper;
	}

	/**
	 * A frame with the sender's hybrid logical clock stamp.
	 */
	record Envelope(long stamp, Frame frame) {
	}

}
