// Package rwpart holds back parts of requests that crash backend servers, mostly parts of
// their prompts.
//
// Requests share the parts of their prompts, all but the last one. The loss of a server
// before its response was well under way counts against each of these parts: no two of the
// requests need be alike. A response that went on past its beginning, or was completed,
// clears its parts for that version of the server software, so that a part in common use
// clears itself. A part that several servers were lost under, and that no server wrote on
// since, is held: requests with it are not sent to servers.
//
// A request that is sent again and again may itself be what crashes servers. Only two losses
// under each request count, so that it takes others to hold its parts.
//
// Losses of one zone at the same time count once, as they mostly have another cause. For a
// part that a server wrote on lately this holds across zones, and it takes more losses.
//
// Parts that always come together can't be told apart: all of them are held. Of a held part
// one request is let through now and then, by one instance; it releases the part if a server
// writes on it.
//
// Requests without a prompt have traits in place of parts: their path, its directories, the
// parameters of the query and the body. They are known by them where a request is new each
// time. Their responses are not seen to begin before they are whole, so the loss of a server
// under one is strong evidence once it is judged to be a crash.
//
// Evidence is kept for each organisation and service. Otherwise callers of one organisation
// could have the parts of another held, by sending them beside a part that crashes servers.
package rwpart
