package org.zinniatack.wire;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;

/**
 * Encodes commands and the replicated state as MessagePack.
 */
public final class StateCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private StateCodec() {
	}

	/**
	 * Returns the bytes of a command.
	 * @param command the command
	 * @return its MessagePack form
	 * @throws IOException if it cannot be encoded
	 */
	public static byte[] encode(Command command) throws IOException {
		return MAPPER.writerFor(Command.class).writeValueAsBytes(command);
	}

	/**
	 * Returns the bytes of a state.
	 * @param image the stored form of the state
	 * @return its MessagePack form
	 * @throws IOException if it cannot be encoded
	 */
	public static byte[] encode(ControlState.Image image) throws IOException {
		return MAPPER.writeValueAsBytes(image);
	}

	/**
	 * Returns how many bytes a message takes on the wire, with its frame.
	 * @param message the message
	 * @return the number of bytes
	 * @throws IOException if it cannot be encoded
	 */
	public static int frameSizeBytes(Message message) throws IOException {
		return Integer.BYTES + FrameCodec.encode(new Frame(1, true, message)).length;
	}

	/**
	 * Returns the command of some bytes.
	 * @param bytes the MessagePack form
	 * @return the command
	 * @throws IOException if they hold no command
	 */
	public static Command decodeCommand(byte[] bytes) throws IOException {
		return MAPPER.readValue(bytes, Command.class);
	}

	/**
	 * Returns the state of some bytes.
	 * @param bytes the MessagePack form
	 * @return the stored form of the state
	 * @throws IOException if they hold no state
	 */
	public static ControlState.Image decodeImage(byte[] bytes) throws IOException {
		return MAPPER.readValue(bytes, ControlState.Image.class);
	}

}
