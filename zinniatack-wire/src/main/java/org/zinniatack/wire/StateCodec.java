package org.zinniatack.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.RecordComponent;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;

/**
 * Encodes commands and the replicated state as MessagePack and decodes them.
 */
public final class StateCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.registerModule(new SharedStrings().module());

	private static final String TYPE_FIELD = "t";

	private static final String TABLE_TYPE = "table";

	private StateCodec() {
	}

	/**
	 * Encodes a command.
	 * @param command the command
	 * @return the MessagePack bytes
	 * @throws IOException if the command cannot be encoded
	 */
	public static byte[] encode(Command command) throws IOException {
		return MAPPER.writerFor(Command.class).writeValueAsBytes(command);
	}

	/**
	 * Encodes the replicated state.
	 * @param image the serializable form of the state
	 * @return the MessagePack bytes
	 * @throws IOException if the state cannot be encoded
	 */
	public static byte[] encode(ControlState.Image image) throws IOException {
		return MAPPER.writeValueAsBytes(image);
	}

	/**
	 * Writes the encoded replicated state to a stream and closes it. No more than one job
	 * or other part of the state is held in encoded form.
	 * @param image the serializable form of the state
	 * @param output the stream
	 * @throws IOException if the state cannot be encoded or the stream not be written
	 */
	public static void encode(ControlState.Image image, OutputStream output) throws IOException {
		// The generator keeps a value until all of its parts are known.
		try (MessagePacker packer = MessagePack.newDefaultPacker(output)) {
			RecordComponent[] components = ControlState.Image.class.getRecordComponents();
			packer.packMapHeader(components.length);
			for (RecordComponent component : components) {
				packer.packString(component.getName());
				pack(packer, component.getAccessor().invoke(image));
			}
		}
		catch (ReflectiveOperationException ex) {
			throw new IOException("the image of the state cannot be read: " + ex.getMessage(), ex);
		}
	}

	private static void pack(MessagePacker packer, @Nullable Object value) throws IOException {
		if (value instanceof List<?> list) {
			packer.packArrayHeader(list.size());
			for (Object element : list) {
				packer.writePayload(MAPPER.writeValueAsBytes(element));
			}
		}
		else {
			packer.writePayload(MAPPER.writeValueAsBytes(value));
		}
	}

	/**
	 * Returns the size of a message on the wire, with its frame and length prefix.
	 * @param message the message
	 * @return the size, in bytes
	 * @throws IOException if the message cannot be encoded
	 */
	public static int frameSizeBytes(Message message) throws IOException {
		return Integer.BYTES + FrameCodec.encode(new Frame(1, true, message)).length;
	}

	/**
	 * Decodes a command.
	 * @param bytes the MessagePack bytes
	 * @return the command
	 * @throws IOException if the bytes are not an encoded command
	 */
	public static Command decodeCommand(byte[] bytes) throws IOException {
		return MAPPER.readValue(bytes, Command.class);
	}

	/**
	 * Returns whether a command may replace the routing table, without decoding it.
	 * @param beginning the MessagePack bytes or their beginning
	 * @return false if the command is certainly of another type
	 */
	public static boolean mayReplaceTable(byte[] beginning) {
		try (JsonParser parser = MAPPER.createParser(beginning)) {
			boolean typed = parser.nextToken() == JsonToken.START_OBJECT && TYPE_FIELD.equals(parser.nextFieldName());
			return !typed || TABLE_TYPE.equals(parser.nextTextValue());
		}
		catch (IOException ex) {
			// What cannot be read this far is left to decodeCommand.
			return true;
		}
	}

	/**
	 * Decodes the replicated state from a stream and closes it.
	 * @param input the stream of MessagePack bytes
	 * @return the serializable form of the state
	 * @throws IOException if the bytes are not an encoded state
	 */
	public static ControlState.Image decodeImage(InputStream input) throws IOException {
		return MAPPER.readValue(input, ControlState.Image.class);
	}

	/**
	 * Decodes the replicated state.
	 * @param bytes the MessagePack bytes
	 * @return the serializable form of the state
	 * @throws IOException if the bytes are not an encoded state
	 */
	public static ControlState.Image decodeImage(byte[] bytes) throws IOException {
		return MAPPER.readValue(bytes, ControlState.Image.class);
	}

}
