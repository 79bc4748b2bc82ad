Feature: The administration port answers only well-formed requests

  Scenario Outline: A malformed request is answered with 400 at once
    # Guards against requests that two programs read differently, and against
    # connections that stay open for bytes that can be no request.
    When the administration port receives <bytes>
    Then it answers with status <status> and <end> the connection

    Examples: Sound requests
      | bytes                               | status | end    |
      | a sound request                     | 200    | keeps  |
      | a sound request in two pieces       | 200    | keeps  |
      | a sound chunked body                | 200    | keeps  |
      | a sound chunked body in pieces      | 200    | keeps  |
      | HTTP/1.0 without a Host             | 200    | closes |

    Examples: Malformed requests
      | bytes                                 | status | end    |
      | a folded header                       | 400    | closes |
      | a first header that is folded         | 400    | closes |
      | no Host                               | 400    | closes |
      | no Host and a chunked body            | 400    | closes |
      | two Hosts                             | 400    | closes |
      | a chunk of 2 to the power of 68 bytes | 400    | closes |
      | binary bytes                          | 400    | closes |
      | binary bytes in two pieces            | 400    | closes |
      | binary bytes after a sound request    | 400    | closes |
      | lines that end with LF                | 400    | closes |
