/**
 * The protocol between the processes of the system: length-prefixed MessagePack frames
 * over TCP, mutual authentication with the cluster secret, and exchanges of typed
 * messages.
 */
@NullMarked
package org.zinniatack.wire;

import org.jspecify.annotations.NullMarked;
