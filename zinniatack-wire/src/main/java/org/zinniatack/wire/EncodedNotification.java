package org.zinniatack.wire;

import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A notification that is encoded once and sent to several peers, so that their event
 * loops do not encode it.
 */
public final class EncodedNotification {

	private final Message message;

	private final byte[] frame;

	private EncodedNotification(Message message, byte[] frame) {
		this.message = message;
		this.frame = frame;
	}

	/**
	 * Encodes a notification.
	 * @param message the message
	 * @return the encoded notification
	 * @throws UncheckedIOException if the message cannot be encoded
	 */
	public static EncodedNotification of(Message message) {
		try {
			return new EncodedNotification(message,
					FrameCodec.encode(new Frame(ChannelPeer.NOTIFICATION_ID, true, message)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the message.
	 * @return the message that was encoded
	 */
	public Message message() {
		return this.message;
	}

	/** Returns the frame, which must not be changed. */
	byte[] frame() {
		return this.frame;
	}

}
