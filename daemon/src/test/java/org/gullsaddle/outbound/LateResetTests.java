package org.gullsaddle.outbound;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LateResetTests {

	private static final byte[] ANSWER = "HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.ISO_8859_1);

	private static final int BODY_BYTES = 20_000;

	/** Longer than a busy machine delays a thread, in milliseconds. */
	private static final long WAIT_MILLIS = 2000;

	private static final int LATER_MILLIS = 20;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final CompletableFuture<Boolean> broken = new CompletableFuture<>();

	@AfterEach
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	private Channel connect(ServerSocket server) throws Exception {
		RequestProgress request = new RequestProgress();
		ChannelInboundHandlerAdapter end = new ChannelInboundHandlerAdapter() {

			@Override
			public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
				LateResetTests.this.broken.complete(true);
			}

			@Override
			public void channelInactive(ChannelHandlerContext context) {
				LateResetTests.this.broken.complete(false);
			}

		};
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new AnswerHandler(request, AnswerValidator.UNLIMITED, WAIT_MILLIS),
								new HttpClientCodec(), request, end);
				}

			});
		return bootstrap.connect(server.getLocalSocketAddress()).sync().channel();
	}

	/**
	 * Guards against an answer that counts as whole as its connection is reset after the
	 * end of the stream, with the request unread.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void answerIsBrokenIfAResetFollowsItsEnd(boolean reset) throws Exception {
		try (ServerSocket server = new ServerSocket()) {
			server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			Channel channel = connect(server);
			DefaultFullHttpRequest upload = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
					Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
			HttpUtil.setContentLength(upload, BODY_BYTES);
			channel.writeAndFlush(upload).sync();
			try (Socket socket = server.accept()) {
				socket.getOutputStream().write(ANSWER);
				socket.shutdownOutput();
				TimeUnit.MILLISECONDS.sleep(LATER_MILLIS);
				if (reset) {
					socket.setSoLinger(true, 0);
					socket.close();
				}
				assertThat(this.broken.get(20, TimeUnit.SECONDS)).isEqualTo(reset);
			}
		}
	}

}
